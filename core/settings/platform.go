package settings

import (
	"net/url"
	"time"

	"savoryfall/core/tomldoc"
)

// Platform holds the section platform: the addresses of the platform's services.
type Platform struct {
	log         string
	vmList      string
	weightStore string
	authority   string
	vmPeriod    time.Duration
	retention   time.Duration
}

func readPlatform(t *tomldoc.Table) (p Platform) {
	p.log = readURL(t, "log")
	p.vmList = readURL(t, "vmList")
	p.weightStore = t.String("weightStore", "")
	p.authority = t.String("authority", "")
	p.vmPeriod = t.Duration("vmListPeriod", 4*time.Second, 20*time.Millisecond, time.Hour)
	p.retention = t.Duration("retention", 24*time.Hour, time.Second, 10000*time.Hour)
	return p
}

func readURL(t *tomldoc.Table, key string) string {
	text := t.RequiredString(key)
	u, err := url.Parse(text)
	if text != "" && (err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https") {
		t.AddError(key, text, "a URL, such as http://10.0.0.2:7100")
	}
	return text
}

// Log returns the base URL of the log service.
func (p Platform) Log() string { return p.log }

// VMList returns the base URL of the VM list.
func (p Platform) VMList() string { return p.vmList }

// WeightStore returns the base URL of the weight store; empty means that no orders are given to engines.
func (p Platform) WeightStore() string { return p.weightStore }

// Authority returns the file of the CA certificates that the platform is verified against; empty selects the system's.
func (p Platform) Authority() string { return p.authority }

// VMListPeriod returns the interval at which the VM list is read.
func (p Platform) VMListPeriod() time.Duration { return p.vmPeriod }

// Retention returns how long the log keeps a record.
func (p Platform) Retention() time.Duration { return p.retention }

package settings

import (
	"time"

	"savoryfall/core/tomldoc"
)

// OverloadMode is when overload control is active.
type OverloadMode string

// The modes of overload control. In OverloadAuto, what the deployment's endpoints and terms say decides.
const (
	OverloadAuto OverloadMode = "auto"
	OverloadOn   OverloadMode = "on"
	OverloadOff  OverloadMode = "off"
)

// Placement is how overload control chooses endpoints.
type Placement string

// The placements: by the number of requests at each endpoint, as without overload control, or by the expected time to the first and
// the last event.
const (
	PlaceByLoad         Placement = "load"
	PlaceByExpectedTime Placement = "expectedTime"
)

// CapacityLimit is how full overload control keeps endpoints.
type CapacityLimit string

// The limits: a fixed factor of the slots, or one that follows latency.
const (
	LimitBySlots   CapacityLimit = "slots"
	LimitByLatency CapacityLimit = "latency"
)

// OverloadControl holds the section overloadControl.
type OverloadControl struct {
	mode            OverloadMode
	placement       Placement
	limit           CapacityLimit
	maxWait         time.Duration
	maxWaiting      int64
	reportTerm      time.Duration
	accounts        int64
	slowReaderShare float64
	connectionBytes int64
}

func readOverloadControl(t *tomldoc.Table) (c OverloadControl) {
	c.mode = OverloadMode(t.Choice("mode", string(OverloadAuto), string(OverloadAuto), string(OverloadOn), string(OverloadOff)))
	c.placement = Placement(t.Choice("placement", string(PlaceByLoad), string(PlaceByLoad), string(PlaceByExpectedTime)))
	c.limit = CapacityLimit(t.Choice("limit", string(LimitBySlots), string(LimitBySlots), string(LimitByLatency)))
	c.maxWait = t.Duration("maxWait", 100*time.Millisecond, 0, 5*time.Second)
	c.maxWaiting = t.Int("maxWaiting", 256, 0, 1<<16)
	c.reportTerm = t.Duration("reportTerm", 2*time.Second, 200*time.Millisecond, time.Minute)
	c.accounts = t.Int("accounts", 32, 1, 1024)
	c.slowReaderShare = t.Float("slowReaderShare", 0.25, 0, 0.9)
	c.connectionBytes = t.Int("connectionBytes", 256<<10, 4<<10, 16<<20)
	return c
}

// Mode returns when overload control is active.
func (c OverloadControl) Mode() OverloadMode { return c.mode }

// Placement returns how endpoints are chosen.
func (c OverloadControl) Placement() Placement { return c.placement }

// Limit returns how full endpoints are kept.
func (c OverloadControl) Limit() CapacityLimit { return c.limit }

// MaxWait returns how long a request may wait in this router for capacity at an endpoint.
func (c OverloadControl) MaxWait() time.Duration { return c.maxWait }

// MaxWaiting returns how many requests may wait in this router.
func (c OverloadControl) MaxWaiting() int { return int(c.maxWaiting) }

// ReportTerm returns how long the reports of other routers count.
func (c OverloadControl) ReportTerm() time.Duration { return c.reportTerm }

// Accounts returns how many client accounts a hub reports by name for each service.
func (c OverloadControl) Accounts() int { return int(c.accounts) }

// SlowReaderShare returns the share of the VM's memory that bytes held for slow readers may take.
func (c OverloadControl) SlowReaderShare() float64 { return c.slowReaderShare }

// ConnectionBytes returns how many bytes may be held for one slow reader.
func (c OverloadControl) ConnectionBytes() int64 { return c.connectionBytes }

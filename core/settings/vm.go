package settings

import (
	"slices"
	"strings"

	"savoryfall/core/tomldoc"
)

// VM holds the section vm: the identity and location of this VM.
type VM struct {
	name           string
	failureDomain  string
	region         string
	failureDomains []string
	memoryMB       float64
	descriptors    int64
}

func readVM(t *tomldoc.Table) (v VM) {
	v.name = t.RequiredString("name")
	v.failureDomain = t.RequiredString("failureDomain")
	v.region = t.String("region", "")
	v.failureDomains = t.Strings("failureDomains")
	v.memoryMB = t.Float("memoryMB", 0, 0, 1e9)
	v.descriptors = t.Int("descriptors", 0, 0, 1e9)
	if len(v.failureDomains) > 0 && v.failureDomain != "" && !slices.Contains(v.failureDomains, v.failureDomain) {
		t.AddError("failureDomain", v.failureDomain, "one of vm.failureDomains: "+strings.Join(v.failureDomains, ", "))
	}
	return v
}

// Name returns the name of the VM, which is unique in the fleet.
func (v VM) Name() string { return v.name }

// FailureDomain returns the failure domain of the VM: the part of the region that fails together with it.
func (v VM) FailureDomain() string { return v.failureDomain }

// MemoryMB returns how much memory in MB a process on the VM may use; 0 means unknown.
func (v VM) MemoryMB() float64 { return v.memoryMB }

// Region returns the region. Load digests are shared between the failure domains of a region.
func (v VM) Region() string { return v.region }

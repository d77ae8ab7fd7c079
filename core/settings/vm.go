package settings

import (
	"slices"
	"strings"

	"savoryfall/core/tomldoc"
)

// VM says which machine this is and where it stands.
type VM struct {
	name           string
	failureDomain  string
	region         string
	failureDomains []string
}

func readVM(t *tomldoc.Table) (v VM) {
	v.name = t.Required("name")
	v.failureDomain = t.Required("failureDomain")
	v.region = t.Text("region", "")
	v.failureDomains = t.Texts("failureDomains")
	if len(v.failureDomains) > 0 && v.failureDomain != "" && !slices.Contains(v.failureDomains, v.failureDomain) {
		t.Fault("failureDomain", v.failureDomain, "one of vm.failureDomains: "+strings.Join(v.failureDomains, ", "))
	}
	return v
}

// Name is unique in the fleet.
func (v VM) Name() string { return v.name }

// FailureDomain is the part of the region that fails together with this VM.
func (v VM) FailureDomain() string { return v.failureDomain }

// Region is the set of failure domains that share load digests.
func (v VM) Region() string { return v.region }

package version

import "savoryfall/core/tomldoc"

// Version is one loadable form of a model: a version of its weights, or an adapter on top of them.
type Version struct {
	model    string
	name     string
	replicas float64
	adapter  bool
}

// Read takes a version from its table.
func Read(t *tomldoc.Table) (v Version) {
	v.model = t.Required("model")
	v.name = t.Required("name")
	v.replicas = t.Real("replicas", 0, 0, 100000)
	return v
}

// ReadAdapter takes an adapter from its table.
func ReadAdapter(t *tomldoc.Table) (v Version) {
	v = Read(t)
	v.adapter = true
	return v
}

// Model is the name of the model that it belongs to.
func (v Version) Model() string { return v.model }

// Name is unique among the versions, or the adapters, of its model.
func (v Version) Name() string { return v.name }

// Replicas is how many engines should hold it warm; zero means all that may serve the model.
func (v Version) Replicas() int { return int(v.replicas) }

// Adapter tells whether it is an adapter.
func (v Version) Adapter() bool { return v.adapter }

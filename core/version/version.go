package version

import "savoryfall/core/tomldoc"

// Version is a loadable variant of a model: a version of its weights, or an adapter on top of them.
type Version struct {
	model    string
	name     string
	replicas float64
	adapter  bool
}

// Read parses a version from its table.
func Read(t *tomldoc.Table) (v Version) {
	v.model = t.RequiredString("model")
	v.name = t.RequiredString("name")
	v.replicas = t.Float("replicas", 0, 0, 100000)
	return v
}

// ReadAdapter parses an adapter from its table.
func ReadAdapter(t *tomldoc.Table) (v Version) {
	v = Read(t)
	v.adapter = true
	return v
}

// Model returns the name of the model that the version belongs to.
func (v Version) Model() string { return v.model }

// Name returns the name, which is unique among the versions, or among the adapters, of the model.
func (v Version) Name() string { return v.name }

// Replicas returns how many engines should have the version loaded; zero means all engines that may serve the model.
func (v Version) Replicas() int { return int(v.replicas) }

// Adapter reports whether the version is an adapter.
func (v Version) Adapter() bool { return v.adapter }

package releasenote

import (
	"savoryfall/core/account"
	"savoryfall/core/endpoint"
	"savoryfall/core/service"
	"savoryfall/core/tomldoc"
	"savoryfall/core/version"
)

// The kinds of items in a release note.
const (
	KindModels    = "models"
	KindAdapters  = "adapters"
	KindVersions  = "versions"
	KindAccounts  = "accounts"
	KindEndpoints = "endpoints"
	KindServices  = "services"
)

// Kinds lists all kinds in the order in which a note is applied.
var Kinds = []string{KindModels, KindAdapters, KindVersions, KindAccounts, KindServices, KindEndpoints}

// Item is one entry of a release note: an object to add, change or withdraw, with the values of its TOML table.
type Item struct {
	kind   string
	name   string
	values map[string]any
}

// Kind returns the kind, one of Kinds.
func (i Item) Kind() string { return i.kind }

// Name returns the name, which is unique within the kind.
func (i Item) Name() string { return i.name }

// Key returns kind and name, which are unique within the configuration.
func (i Item) Key() string { return i.kind + "/" + i.name }

// Values returns the values of the item's TOML table. The caller must not modify them.
func (i Item) Values() map[string]any { return i.values }

// NewItem makes an item of values that were parsed earlier.
func NewItem(kind, name string, values map[string]any) Item {
	return Item{kind: kind, name: name, values: values}
}

// Table returns the values as a table, from which the packages of the kinds parse the item.
func (i Item) Table() *tomldoc.Table {
	return tomldoc.FromValues(i.Key(), i.values).Root()
}

// readItem parses and validates the table according to its kind.
func readItem(kind string, t *tomldoc.Table) Item {
	i := Item{kind: kind, values: t.Values()}
	switch kind {
	case KindAccounts:
		i.name = account.Read(t).Name()
	case KindEndpoints:
		i.name = endpoint.Read(t).Name()
	case KindServices:
		i.name = service.Read(t).Name()
	case KindVersions:
		i.name = versionName(version.Read(t))
	case KindAdapters:
		i.name = versionName(version.ReadAdapter(t))
	case KindModels:
		i.name = t.RequiredString("name")
	}
	return i
}

func versionName(v version.Version) string {
	return v.Model() + "@" + v.Name()
}

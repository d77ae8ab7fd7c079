package tomldoc

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Table is a table of a document. Its getters return the fallback if the key is absent. If the value is invalid, they
// also record an error.
type Table struct {
	doc    *Document
	path   string
	values map[string]any
}

// Path returns the full key of the table.
func (t *Table) Path() string { return t.path }

// Has reports whether the key is present.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// AddError records that the value of the key is invalid.
func (t *Table) AddError(key, found, allowed string) {
	t.doc.addFault(joinPath(t.path, key), found, allowed)
}

func (t *Table) value(key string) (v any, ok bool) {
	t.doc.readKeys[joinPath(t.path, key)] = true
	v, ok = t.values[key]
	return v, ok
}

func (t *Table) addInvalid(key string, v any, allowed string) {
	t.AddError(key, describe(v), allowed)
}

// describe formats a value with its TOML type.
func describe(v any) string {
	switch v.(type) {
	case string:
		return fmt.Sprintf("the string %q", v)
	case int64:
		return fmt.Sprintf("the whole number %d", v)
	case float64:
		return fmt.Sprintf("the number %v", v)
	case bool:
		return fmt.Sprint(v)
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	}
	return fmt.Sprintf("%v", v)
}

// String returns a string.
func (t *Table) String(key, fallback string) string {
	v, ok := t.value(key)
	if !ok {
		return fallback
	}
	s, ok := v.(string)
	if !ok {
		t.addInvalid(key, v, "a string")
		return fallback
	}
	return s
}

// RequiredString returns a string that must be present and not empty.
func (t *Table) RequiredString(key string) string {
	s := t.String(key, "")
	if s == "" && (!t.Has(key) || t.values[key] == "") {
		t.AddError(key, "nothing", "a string that is not empty")
	}
	return s
}

// Choice returns a string that must be one of the allowed ones.
func (t *Table) Choice(key, fallback string, allowed ...string) string {
	s := t.String(key, fallback)
	if !slices.Contains(allowed, s) {
		t.AddError(key, fmt.Sprintf("%q", s), "one of "+strings.Join(allowed, ", "))
		return fallback
	}
	return s
}

// Int returns an integer between lowest and highest.
func (t *Table) Int(key string, fallback, lowest, highest int64) int64 {
	v, ok := t.value(key)
	if !ok {
		return fallback
	}
	n, ok := v.(int64)
	if !ok || n < lowest || n > highest {
		t.addInvalid(key, v, fmt.Sprintf("a whole number from %d to %d", lowest, highest))
		return fallback
	}
	return n
}

// Float returns a number between lowest and highest. An integer is accepted too.
func (t *Table) Float(key string, fallback, lowest, highest float64) float64 {
	v, ok := t.value(key)
	if !ok {
		return fallback
	}
	f, ok := v.(float64)
	if n, isInt := v.(int64); isInt {
		f, ok = float64(n), true
	}
	if !ok || math.IsNaN(f) || f < lowest || f > highest {
		t.addInvalid(key, v, fmt.Sprintf("a number from %v to %v", lowest, highest))
		return fallback
	}
	return f
}

// Bool returns a boolean.
func (t *Table) Bool(key string, fallback bool) bool {
	v, ok := t.value(key)
	if !ok {
		return fallback
	}
	b, ok := v.(bool)
	if !ok {
		t.addInvalid(key, v, "true or false")
		return fallback
	}
	return b
}

// Duration returns a duration between lowest and highest, written as a string such as "250ms".
func (t *Table) Duration(key string, fallback, lowest, highest time.Duration) time.Duration {
	v, ok := t.value(key)
	if !ok {
		return fallback
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d < lowest || d > highest {
		t.addInvalid(key, v, fmt.Sprintf("a duration from %v to %v, such as \"250ms\"", lowest, highest))
		return fallback
	}
	return d
}

// Strings returns an array of strings.
func (t *Table) Strings(key string) (texts []string) {
	v, ok := t.value(key)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.addInvalid(key, v, "an array of strings")
		return nil
	}
	for _, item := range list {
		s, ok := item.(string)
		if !ok {
			t.addInvalid(key, item, "an array of strings")
			return nil
		}
		texts = append(texts, s)
	}
	return texts
}

// Table returns a subtable. An absent one is treated as empty.
func (t *Table) Table(key string) *Table {
	v, ok := t.value(key)
	table := &Table{doc: t.doc, path: joinPath(t.path, key)}
	if !ok {
		return table
	}
	table.values, ok = v.(map[string]any)
	if !ok {
		t.addInvalid(key, v, "a table")
	}
	return table
}

// Tables returns an array of tables.
func (t *Table) Tables(key string) (tables []*Table) {
	v, ok := t.value(key)
	if !ok {
		return nil
	}
	list, ok := v.([]any)
	if !ok {
		t.addInvalid(key, v, "an array of tables")
		return nil
	}
	for i, item := range list {
		path := elementPath(joinPath(t.path, key), i)
		values, ok := item.(map[string]any)
		if !ok {
			t.addInvalid(key, item, "an array of tables")
			return tables
		}
		t.doc.readKeys[path] = true
		tables = append(tables, &Table{doc: t.doc, path: path, values: values})
	}
	return tables
}

// Values returns the raw values of the table. The caller must not modify them.
func (t *Table) Values() map[string]any { return t.values }

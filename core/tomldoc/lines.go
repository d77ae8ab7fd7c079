package tomldoc

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex walks the expressions of a document that is known to be valid.
type lineIndex struct {
	parser unstable.Parser
	lines  map[string]int
	arrays map[string]int
	prefix string
}

func keyLines(data []byte) map[string]int {
	x := &lineIndex{lines: map[string]int{}, arrays: map[string]int{}}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x.lines
}

func (x *lineIndex) expression(e *unstable.Node) {
	switch e.Kind {
	case unstable.Table:
		x.prefix = x.walk("", e, false)
	case unstable.ArrayTable:
		x.prefix = x.walk("", e, true)
	case unstable.KeyValue:
		x.pair(x.prefix, e)
	}
}

// walk follows the dotted key of e below path, and opens a new element when e is an array table.
func (x *lineIndex) walk(path string, e *unstable.Node, opens bool) string {
	it := e.Key()
	for it.Next() {
		k := it.Node()
		path = join(path, string(k.Data))
		line := x.parser.Shape(k.Raw).Start.Line
		if opens && it.IsLast() {
			x.note(path, line)
			x.arrays[path]++
		}
		if n := x.arrays[path]; n > 0 {
			path = element(path, n-1)
		}
		x.note(path, line)
	}
	return path
}

func (x *lineIndex) note(path string, line int) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = line
	}
}

func (x *lineIndex) pair(prefix string, e *unstable.Node) {
	path := x.walk(prefix, e, false)
	x.value(path, e.Value())
}

func (x *lineIndex) value(path string, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			x.pair(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			if it.Node().Kind == unstable.InlineTable {
				x.note(element(path, i), x.lines[path])
				x.value(element(path, i), it.Node())
			}
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func element(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

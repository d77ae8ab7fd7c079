package tomldoc

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex collects the line of each key by walking the syntax tree of a valid document.
type lineIndex struct {
	parser       unstable.Parser
	lines        map[string]int
	arrayLengths map[string]int
	table        string
}

func keyLines(data []byte) map[string]int {
	x := &lineIndex{lines: map[string]int{}, arrayLengths: map[string]int{}}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		x.visitExpression(x.parser.Expression())
	}
	return x.lines
}

func (x *lineIndex) visitExpression(e *unstable.Node) {
	switch e.Kind {
	case unstable.Table:
		x.table = x.visitKey("", e, false)
	case unstable.ArrayTable:
		x.table = x.visitKey("", e, true)
	case unstable.KeyValue:
		x.visitPair(x.table, e)
	}
}

// visitKey records the lines of the parts of a dotted key below path, and returns the full path. If e is the header of
// an array table, the last part starts a new element.
func (x *lineIndex) visitKey(path string, e *unstable.Node, isArrayTable bool) string {
	it := e.Key()
	for it.Next() {
		k := it.Node()
		path = joinPath(path, string(k.Data))
		line := x.parser.Shape(k.Raw).Start.Line
		if isArrayTable && it.IsLast() {
			x.setLine(path, line)
			x.arrayLengths[path]++
		}
		if n := x.arrayLengths[path]; n > 0 {
			path = elementPath(path, n-1)
		}
		x.setLine(path, line)
	}
	return path
}

func (x *lineIndex) setLine(path string, line int) {
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = line
	}
}

func (x *lineIndex) visitPair(prefix string, e *unstable.Node) {
	path := x.visitKey(prefix, e, false)
	x.visitValue(path, e.Value())
}

func (x *lineIndex) visitValue(path string, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			x.visitPair(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			if it.Node().Kind == unstable.InlineTable {
				x.setLine(elementPath(path, i), x.lines[path])
				x.visitValue(elementPath(path, i), it.Node())
			}
		}
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func elementPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

package tomldoc

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
)

// Document is one TOML file that remembers which keys were read and which faults were found.
type Document struct {
	file   string
	root   map[string]any
	lines  map[string]int
	read   map[string]bool
	faults Faults
}

// Parse reads the TOML text of the named file; the error is a Faults with the place of the syntax error.
func Parse(file string, data []byte) (doc *Document, err error) {
	doc = &Document{file: file, lines: map[string]int{}, read: map[string]bool{}}
	if !utf8.Valid(data) {
		return nil, Faults{{File: file, Line: invalidLine(data), Found: "a byte that is not UTF-8", Allowed: "UTF-8 text"}}
	}
	err = toml.Unmarshal(data, &doc.root)
	if err != nil {
		return nil, Faults{syntaxFault(file, err)}
	}
	doc.lines = keyLines(data)
	return doc, nil
}

func invalidLine(data []byte) (line int) {
	valid := 0
	for valid < len(data) {
		r, size := utf8.DecodeRune(data[valid:])
		if r == utf8.RuneError && size == 1 {
			break
		}
		valid += size
	}
	return 1 + strings.Count(string(data[:valid]), "\n")
}

func syntaxFault(file string, err error) (f Fault) {
	f = Fault{File: file, Line: 1, Found: err.Error(), Allowed: "valid TOML"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		f.Line, _ = decode.Position()
		f.Key = strings.Join(decode.Key(), ".")
	}
	return f
}

// Root is the table that holds the whole document.
func (d *Document) Root() *Table {
	return &Table{doc: d, values: d.root}
}

// Err returns every fault found so far and one for each key that nobody asked for, or nil.
func (d *Document) Err() error {
	faults := append(Faults{}, d.faults...)
	for path := range d.lines {
		if !d.read[path] {
			faults = append(faults, d.unknown(path))
		}
	}
	if len(faults) == 0 {
		return nil
	}
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].Line != faults[j].Line {
			return faults[i].Line < faults[j].Line
		}
		return faults[i].Key < faults[j].Key
	})
	return faults
}

func (d *Document) unknown(path string) Fault {
	return Fault{File: d.file, Line: d.lines[path], Key: path, Found: "an unknown key", Allowed: d.siblings(path)}
}

// siblings names the keys that were asked for beside path, so that a misspelling is seen at once.
func (d *Document) siblings(path string) string {
	parent := path[:strings.LastIndex(path, ".")+1]
	var known []string
	for p := range d.read {
		rest, inside := strings.CutPrefix(p, parent)
		if inside && rest != "" && !strings.ContainsAny(rest, ".[") {
			known = append(known, rest)
		}
	}
	sort.Strings(known)
	if len(known) == 0 {
		return "nothing here"
	}
	return "one of " + strings.Join(known, ", ")
}

func (d *Document) add(path, found, allowed string) {
	d.faults = append(d.faults, Fault{File: d.file, Line: d.line(path), Key: path, Found: found, Allowed: allowed})
}

// line falls back to the nearest enclosing table that has a line, so that a missing key points somewhere useful.
func (d *Document) line(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndex(path, "."), 0)]
	}
	return 1
}

// Fault is one mistake in a file: where it stands, what was found and what is allowed.
type Fault struct {
	File    string
	Line    int
	Key     string
	Found   string
	Allowed string
}

// Error is the fault as one line that an editor can jump to.
func (f Fault) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: found %s; allowed: %s", f.File, f.Line, f.Found, f.Allowed)
	}
	return fmt.Sprintf("%s:%d: %s: found %s; allowed: %s", f.File, f.Line, f.Key, f.Found, f.Allowed)
}

// Faults is every fault of one file, in the order of its lines.
type Faults []Fault

// Error is all faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// FromValues makes a document of values that were read earlier; its faults carry no line.
func FromValues(file string, values map[string]any) *Document {
	return &Document{file: file, root: values, lines: map[string]int{}, read: map[string]bool{}}
}

package tomldoc

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
)

// Document is a parsed TOML document. It records which keys were read and which errors were found.
type Document struct {
	file     string
	root     map[string]any
	lines    map[string]int
	readKeys map[string]bool
	errors   Errors
}

// Parse parses TOML text; file is used in error messages only. The error is of type Errors, with the position of the
// syntax error.
func Parse(file string, data []byte) (doc *Document, err error) {
	doc = &Document{file: file, lines: map[string]int{}, readKeys: map[string]bool{}}
	if !utf8.Valid(data) {
		return nil, Errors{{File: file, Line: invalidUTF8Line(data), Got: "a byte that is not UTF-8", Want: "UTF-8 text"}}
	}
	err = toml.Unmarshal(data, &doc.root)
	if err != nil {
		return nil, Errors{syntaxFault(file, err)}
	}
	doc.lines = keyLines(data)
	return doc, nil
}

func invalidUTF8Line(data []byte) (line int) {
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

func syntaxFault(file string, err error) (f Error) {
	f = Error{File: file, Line: 1, Got: err.Error(), Want: "valid TOML"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		f.Line, _ = decode.Position()
		f.Key = strings.Join(decode.Key(), ".")
	}
	return f
}

// Root returns the top-level table.
func (d *Document) Root() *Table {
	return &Table{doc: d, values: d.root}
}

// Err returns all errors found so far and one for each key that was never read, or nil if there are none. Call it after
// all keys were read.
func (d *Document) Err() error {
	faults := append(Errors{}, d.errors...)
	for path := range d.lines {
		if !d.readKeys[path] {
			faults = append(faults, d.unknownKey(path))
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

// Faults returns the errors found so far, or nil if there are none. Keys that were not read are none.
func (d *Document) Faults() error {
	if len(d.errors) == 0 {
		return nil
	}
	return d.errors
}

func (d *Document) unknownKey(path string) Error {
	return Error{File: d.file, Line: d.lines[path], Key: path, Got: "an unknown key", Want: d.allowedKeys(path)}
}

// allowedKeys lists the keys that were read from the same table, so that the message for a misspelled key shows the
// right spelling.
func (d *Document) allowedKeys(path string) string {
	parent := path[:strings.LastIndex(path, ".")+1]
	var known []string
	for p := range d.readKeys {
		key, ok := strings.CutPrefix(p, parent)
		if ok && key != "" && !strings.ContainsAny(key, ".[") {
			known = append(known, key)
		}
	}
	sort.Strings(known)
	if len(known) == 0 {
		return "no keys in this table"
	}
	return "one of " + strings.Join(known, ", ")
}

func (d *Document) addFault(path, found, allowed string) {
	d.errors = append(d.errors, Error{File: d.file, Line: d.lineOf(path), Key: path, Got: found, Want: allowed})
}

// lineOf returns the line of the key. For a missing key it returns the line of the innermost enclosing table that has
// one.
func (d *Document) lineOf(path string) int {
	for path != "" {
		if n, ok := d.lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndex(path, "."), 0)]
	}
	return 1
}

// Error is one error in a document: its position, what was found and what is allowed.
type Error struct {
	File string
	Line int
	Key  string
	Got  string
	Want string
}

// Error formats the error as file:line, which editors can jump to.
func (f Error) Error() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: found %s; allowed: %s", f.File, f.Line, f.Got, f.Want)
	}
	return fmt.Sprintf("%s:%d: %s: found %s; allowed: %s", f.File, f.Line, f.Key, f.Got, f.Want)
}

// Errors lists all errors of a document, sorted by line.
type Errors []Error

// Error returns all errors, one per line.
func (fs Errors) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// FromValues makes a document of values that were parsed earlier. Its errors have no line numbers.
func FromValues(file string, values map[string]any) *Document {
	return &Document{file: file, root: values, lines: map[string]int{}, readKeys: map[string]bool{}}
}

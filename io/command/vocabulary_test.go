package command_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/go-logfmt/logfmt"
	"gotest.tools/v3/assert"

	"savoryfall/core/logstory"
	"savoryfall/io/clientconn"
)

const (
	root           = "../.."
	eventPath      = "savoryfall/core/event"
	fieldPath      = "savoryfall/core/field"
	operationsPage = root + "/docs/OPERATIONS.md"
)

// constant is one of a vocabulary.
type constant struct{ name, value, doc string }

// vocabulary are the constants of a type in a file that has no others.
func vocabulary(t *testing.T, file, kind string) (all []constant) {
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	assert.NilError(t, err)
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		of, ok := spec.Type.(*ast.Ident)
		if !ok || of.Name != kind {
			assert.Assert(t, len(spec.Values) == 0, "%s has a value without the type %s", file, kind)
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		assert.NilError(t, err)
		all = append(all, constant{name: spec.Names[0].Name, value: value, doc: spec.Doc.Text()})
		return true
	})
	assert.Assert(t, len(all) > 15, "%s names only %d", file, len(all))
	return all
}

func fieldNames(t *testing.T) []constant { return vocabulary(t, root+"/core/field/field.go", "Name") }

func eventNames(t *testing.T) []constant { return vocabulary(t, root+"/core/event/event.go", "Name") }

var quoted = regexp.MustCompile("`([^`]+)`")

// documented are the quoted words in the first column of the page's tables whose first column has that head.
func documented(t *testing.T, head string) (words []string) {
	page, err := os.ReadFile(operationsPage)
	assert.NilError(t, err)
	in := ""
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "|") {
			in = ""
			continue
		}
		first := strings.TrimSpace(strings.Split(line, "|")[1])
		if in == "" {
			in = first
		}
		for _, match := range quoted.FindAllStringSubmatch(first, -1) {
			if in == head {
				words = append(words, match[1])
			}
		}
	}
	slices.Sort(words)
	return words
}

func values(all []constant) (list []string) {
	for _, c := range all {
		list = append(list, c.value)
	}
	slices.Sort(list)
	return list
}

// Who reads a log has the page beside it: it explains each event and each field once, and none that there is not.
func TestPageExplainsEachEventAndField(t *testing.T) {
	assert.DeepEqual(t, documented(t, "Event"), values(eventNames(t)))
	assert.DeepEqual(t, documented(t, "Field"), values(fieldNames(t)))
	for _, c := range fieldNames(t) {
		assert.Equal(t, strings.Count(c.doc, "\n"), 1, "field.%s is not described by one line", c.name)
	}
}

// A refusal's reason, and by whom a connection ended, are words that are looked up as well.
func TestPageExplainsEachReasonAndEnding(t *testing.T) {
	page, err := os.ReadFile(operationsPage)
	assert.NilError(t, err)
	words := values(vocabulary(t, root+"/core/ask/problem.go", "Reason"))
	for _, by := range clientconn.Endings() {
		words = append(words, string(by))
	}
	for _, word := range words {
		found := regexp.MustCompile("`(reason=|ended=)?" + word + "`").Match(page)
		assert.Assert(t, found, "%s is not on the page", word)
	}
}

// imports tells whether the file imports one of the packages.
func imports(f *ast.File, paths ...string) bool {
	return slices.ContainsFunc(f.Imports, func(s *ast.ImportSpec) bool {
		path, _ := strconv.Unquote(s.Path.Value)
		return slices.Contains(paths, path)
	})
}

// speakers are the files of the packages that use the vocabulary. The commands are one package for several kinds of
// process, of which only those files count that use it themselves.
func speakers(t *testing.T, fset *token.FileSet) (files []*ast.File, packages []string) {
	byDir := map[string][]*ast.File{}
	for _, top := range []string{"core", "io", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
			dir, _ := filepath.Rel(root, filepath.Dir(path))
			byDir[dir] = append(byDir[dir], f)
			return err
		})
		assert.NilError(t, err)
	}
	for dir, all := range byDir {
		speaks := slices.DeleteFunc(slices.Clone(all), func(f *ast.File) bool { return !imports(f, eventPath, fieldPath) })
		if len(speaks) == 0 {
			continue
		}
		if dir == "io/command" {
			all = speaks
		}
		files, packages = append(files, all...), append(packages, dir)
	}
	slices.Sort(packages)
	return files, packages
}

// selected is X of pkg.X, empty for anything else.
func selected(e ast.Expr, pkg string) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if x, ok := s.X.(*ast.Ident); !ok || x.Name != pkg {
		return ""
	}
	return s.Sel.Name
}

// reader goes through files and finds what is not of the vocabulary.
type reader struct {
	fset *token.FileSet
	// fields and events are the constants that lines are made of.
	fields, events map[string]bool
	faults         []string
}

func (r *reader) fault(n ast.Node, what string) {
	r.faults = append(r.faults, r.fset.Position(n.Pos()).String()+": "+what)
}

// pairs are keys and values.
func (r *reader) pairs(n ast.Node, list []ast.Expr) {
	if len(list)%2 != 0 {
		r.fault(n, "a key without a value")
		return
	}
	for i := 0; i < len(list); i += 2 {
		key := selected(list[i], "field")
		if key == "" {
			r.fault(list[i], "a key that is no constant of core/field")
			continue
		}
		r.fields[key] = true
		if key != "Event" {
			continue
		}
		name := selected(list[i+1], "event")
		if name == "" {
			r.fault(list[i+1], "an event that is no constant of core/event")
		}
		r.events[name] = true
	}
}

func isText(e ast.Expr) bool {
	b, ok := e.(*ast.BasicLit)
	return ok && b.Kind == token.STRING
}

func (r *reader) call(c *ast.CallExpr) {
	s, ok := c.Fun.(*ast.SelectorExpr)
	name := ""
	if ok {
		name = s.Sel.Name
	}
	if f, ok := c.Fun.(*ast.Ident); ok {
		name = f.Name
	}
	switch {
	case selected(c.Fun, "math") != "" || c.Ellipsis.IsValid():
		// A list that is handed on was made elsewhere, as a literal.
	case name == "Log":
		r.pairs(c, c.Args)
	case selected(c.Fun, "log") == "With":
		r.pairs(c, c.Args[1:])
	case name == "append" && len(c.Args) > 2 && isText(c.Args[1]):
		r.fault(c, "a key and its value that are appended")
	case selected(c.Fun, "field") == "Name" && isText(c.Args[0]):
		r.fault(c, "a field's name made of a text")
	}
}

func (r *reader) visit(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.CallExpr:
		r.call(n)
	case *ast.CompositeLit:
		list, ok := n.Type.(*ast.ArrayType)
		if !ok {
			break
		}
		if of, ok := list.Elt.(*ast.Ident); ok && of.Name == "any" {
			r.pairs(n, n.Elts)
		}
	case *ast.IndexExpr:
		if s, ok := n.X.(*ast.SelectorExpr); ok && s.Sel.Name == "Fields" && isText(n.Index) {
			r.fault(n, "a field read by a text")
		}
	}
	return true
}

// A misspelt key has the line written all the same, and whoever looks for it finds nothing. The logger takes any keys, so
// the sources are read: no line has a key or an event that is not of the vocabulary, and no name of it is left unused.
func TestLinesKeepToTheVocabulary(t *testing.T) {
	r := &reader{fset: token.NewFileSet(), fields: map[string]bool{}, events: map[string]bool{}}
	files, packages := speakers(t, r.fset)
	assert.DeepEqual(t, packages, []string{
		"core/logstory", "io/clientconn", "io/command", "io/desired", "io/draining", "io/entry", "io/follow", "io/hub", "io/registry", "io/stdout",
	})
	for _, f := range files {
		ast.Inspect(f, r.visit)
	}
	assert.Equal(t, strings.Join(r.faults, "\n"), "")
	for _, c := range fieldNames(t) {
		assert.Assert(t, r.fields[c.name], "no line has field.%s", c.name)
	}
	for _, c := range eventNames(t) {
		assert.Assert(t, r.events[c.name], "no line has event.%s", c.name)
	}
}

// pairsOf are the keys of a line with their values.
func pairsOf(t *testing.T, line string) map[string]string {
	pairs := map[string]string{}
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			pairs[string(d.Key())] = string(d.Value())
		}
	}
	assert.NilError(t, d.Err())
	return pairs
}

// The sessions on incidents are worth something only while their logs are such as a router writes.
func TestIncidentsKeepToTheVocabulary(t *testing.T) {
	files, err := filepath.Glob("testdata/session/incident*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	fields, events := values(fieldNames(t)), values(eventNames(t))
	const cut = "requestFail"
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		for line := range strings.Lines(string(text)) {
			_, line, found := strings.Cut(line, "ts=")
			if !found {
				continue
			}
			pairs := pairsOf(t, "ts="+line)
			for key := range pairs {
				assert.Assert(t, slices.Contains(fields, key), "%s: %s in %s", file, key, line)
			}
			assert.Assert(t, pairs["event"] == cut || slices.Contains(events, pairs["event"]), "%s: %s", file, line)
		}
	}
}

// Whoever is told why a connection ended is told so in words, whatever a router writes there.
func TestEachEndingHasWords(t *testing.T) {
	for _, by := range clientconn.Endings() {
		l := &logstory.Log{}
		assert.NilError(t, l.Read(strings.NewReader("ts=2031-04-02T08:00:00Z vm=a event=requestRefused request=r ended="+string(by))))
		words := l.Story("r")[0].Words
		assert.Assert(t, len(words) > 1 && !strings.Contains(words[0], "ended: "), "%s: %v", by, words)
	}
}

// The check itself finds what it is for.
func TestLinesBesideTheVocabularyAreFound(t *testing.T) {
	const source = `package x
func f() {
	l.Log("event", event.Started)
	l.Log(field.Event, "started")
	l.Log(field.Event, event.Started, field.Name("clents"), 1)
	l.Log(field.Event)
	l = log.With(l, "vm", name)
	line := []any{field.Event, event.Started, "clents", 1}
	line = append(line, "clents", 1)
	l.Log(line...)
	_ = l.Fields["clents"]
	l.Log(field.Event, event.Started, field.Clients, "any text")
	_ = math.Log(2)
}
`
	r := &reader{fset: token.NewFileSet(), fields: map[string]bool{}, events: map[string]bool{}}
	f, err := parser.ParseFile(r.fset, "x.go", source, parser.SkipObjectResolution)
	assert.NilError(t, err)
	ast.Inspect(f, r.visit)
	lines := map[string]bool{}
	for _, fault := range r.faults {
		lines[strings.Split(fault, ":")[1]] = true
	}
	assert.Equal(t, len(lines), 8, "%v", r.faults)
	assert.Assert(t, !lines["12"] && !lines["13"], "%v", r.faults)
}

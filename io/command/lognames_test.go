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

	"savoryfall/core/loganalysis"
	"savoryfall/io/clientconn"
)

const (
	root           = "../.."
	eventPath      = "savoryfall/core/event"
	fieldPath      = "savoryfall/core/field"
	operationsPage = root + "/docs/OPERATIONS.md"
)

// constant is a declared constant with its doc comment.
type constant struct{ name, value, doc string }

// constantsOf returns the constants of the type wantType in a file that must declare no others.
func constantsOf(t *testing.T, file, wantType string) (all []constant) {
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	assert.NilError(t, err)
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		typeName, ok := spec.Type.(*ast.Ident)
		if !ok || typeName.Name != wantType {
			assert.Assert(t, len(spec.Values) == 0, "%s has a value without the type %s", file, wantType)
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		assert.NilError(t, err)
		all = append(all, constant{name: spec.Names[0].Name, value: value, doc: spec.Doc.Text()})
		return true
	})
	assert.Assert(t, len(all) > 15, "%s declares only %d constants", file, len(all))
	return all
}

func fieldNames(t *testing.T) []constant { return constantsOf(t, root+"/core/field/field.go", "Name") }

func eventNames(t *testing.T) []constant { return constantsOf(t, root+"/core/event/event.go", "Name") }

var backquoted = regexp.MustCompile("`([^`]+)`")

// documentedNames returns the backquoted words in the first column of those tables of docs/OPERATIONS.md whose first
// column has the given heading.
func documentedNames(t *testing.T, heading string) (words []string) {
	page, err := os.ReadFile(operationsPage)
	assert.NilError(t, err)
	table := ""
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "|") {
			table = ""
			continue
		}
		first := strings.TrimSpace(strings.Split(line, "|")[1])
		if table == "" {
			table = first
		}
		for _, match := range backquoted.FindAllStringSubmatch(first, -1) {
			if table == heading {
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

// docs/OPERATIONS.md explains each event and each field exactly once, and none that doesn't exist.
func TestOperationsPageDocumentsEventsAndFields(t *testing.T) {
	assert.DeepEqual(t, documentedNames(t, "Event"), values(eventNames(t)))
	assert.DeepEqual(t, documentedNames(t, "Field"), values(fieldNames(t)))
	for _, c := range fieldNames(t) {
		assert.Equal(t, strings.Count(c.doc, "\n"), 1, "the doc comment of field.%s is not one line", c.name)
	}
}

// docs/OPERATIONS.md explains each reason of a refusal and each way that a connection ends.
func TestOperationsPageDocumentsRefusalAndCloseReasons(t *testing.T) {
	page, err := os.ReadFile(operationsPage)
	assert.NilError(t, err)
	words := values(constantsOf(t, root+"/core/request/problem.go", "Reason"))
	for _, reason := range clientconn.CloseReasons() {
		words = append(words, string(reason))
	}
	for _, word := range words {
		found := regexp.MustCompile("`(reason=|ended=)?" + word + "`").Match(page)
		assert.Assert(t, found, "%s is not documented in OPERATIONS.md", word)
	}
}

// imports reports whether the file imports one of the packages.
func imports(f *ast.File, paths ...string) bool {
	return slices.ContainsFunc(f.Imports, func(s *ast.ImportSpec) bool {
		path, _ := strconv.Unquote(s.Path.Value)
		return slices.Contains(paths, path)
	})
}

// loggingFiles returns the files of all packages that use core/event or core/field, and these packages. Package
// io/command has commands of several kinds of process, so only those of its files count that use the names themselves.
func loggingFiles(t *testing.T, fset *token.FileSet) (files []*ast.File, packages []string) {
	filesByDir := map[string][]*ast.File{}
	for _, top := range []string{"core", "io", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
			dir, _ := filepath.Rel(root, filepath.Dir(path))
			filesByDir[dir] = append(filesByDir[dir], f)
			return err
		})
		assert.NilError(t, err)
	}
	for dir, all := range filesByDir {
		withNames := slices.DeleteFunc(slices.Clone(all), func(f *ast.File) bool { return !imports(f, eventPath, fieldPath) })
		if len(withNames) == 0 {
			continue
		}
		if dir == "io/command" {
			all = withNames
		}
		files, packages = append(files, all...), append(packages, dir)
	}
	slices.Sort(packages)
	return files, packages
}

// selectorName returns X for the expression pkg.X, and an empty string for any other.
func selectorName(e ast.Expr, pkg string) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if x, ok := s.X.(*ast.Ident); !ok || x.Name != pkg {
		return ""
	}
	return s.Sel.Name
}

// logCallChecker finds log calls whose keys or events are not constants of core/field and core/event.
type logCallChecker struct {
	fset *token.FileSet
	// fields and events are the constants that are used in log calls.
	fields, events map[string]bool
	problems       []string
}

func (r *logCallChecker) report(n ast.Node, what string) {
	r.problems = append(r.problems, r.fset.Position(n.Pos()).String()+": "+what)
}

// checkPairs checks a list of alternating keys and values.
func (r *logCallChecker) checkPairs(n ast.Node, list []ast.Expr) {
	if len(list)%2 != 0 {
		r.report(n, "a key without a value")
		return
	}
	for i := 0; i < len(list); i += 2 {
		key := selectorName(list[i], "field")
		if key == "" {
			r.report(list[i], "a key that is not a constant of core/field")
			continue
		}
		r.fields[key] = true
		if key != "Event" {
			continue
		}
		name := selectorName(list[i+1], "event")
		if name == "" {
			r.report(list[i+1], "an event that is not a constant of core/event")
		}
		r.events[name] = true
	}
}

func isStringLiteral(e ast.Expr) bool {
	b, ok := e.(*ast.BasicLit)
	return ok && b.Kind == token.STRING
}

func (r *logCallChecker) checkCall(c *ast.CallExpr) {
	s, ok := c.Fun.(*ast.SelectorExpr)
	name := ""
	if ok {
		name = s.Sel.Name
	}
	if f, ok := c.Fun.(*ast.Ident); ok {
		name = f.Name
	}
	switch {
	case selectorName(c.Fun, "math") != "" || c.Ellipsis.IsValid():
		// A list that is passed with ... is checked where it is built, as a literal.
	case name == "Log":
		r.checkPairs(c, c.Args)
	case selectorName(c.Fun, "log") == "With":
		r.checkPairs(c, c.Args[1:])
	case name == "append" && len(c.Args) > 2 && isStringLiteral(c.Args[1]):
		r.report(c, "a literal key and its value are appended")
	case selectorName(c.Fun, "field") == "Name" && isStringLiteral(c.Args[0]):
		r.report(c, "a field name is converted from a string literal")
	}
}

func (r *logCallChecker) visit(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.CallExpr:
		r.checkCall(n)
	case *ast.CompositeLit:
		list, ok := n.Type.(*ast.ArrayType)
		if !ok {
			break
		}
		if of, ok := list.Elt.(*ast.Ident); ok && of.Name == "any" {
			r.checkPairs(n, n.Elts)
		}
	case *ast.IndexExpr:
		if s, ok := n.X.(*ast.SelectorExpr); ok && s.Sel.Name == "Fields" && isStringLiteral(n.Index) {
			r.report(n, "a field is read by a string literal")
		}
	}
	return true
}

// The logger accepts any key, so a misspelled one would go unnoticed until a search finds nothing. This test checks the
// source instead: log calls use only declared fields and events, and each declared one is used.
func TestLogCallsUseDeclaredNames(t *testing.T) {
	checker := &logCallChecker{fset: token.NewFileSet(), fields: map[string]bool{}, events: map[string]bool{}}
	files, packages := loggingFiles(t, checker.fset)
	assert.DeepEqual(t, packages, []string{
		"core/loganalysis", "io/clientconn", "io/command", "io/connect", "io/draining", "io/entry", "io/follow", "io/hub", "io/logwriter",
		"io/originlog", "io/registry", "io/storeconfig", "io/versionlog",
	})
	for _, f := range files {
		ast.Inspect(f, checker.visit)
	}
	assert.Equal(t, strings.Join(checker.problems, "\n"), "")
	for _, c := range fieldNames(t) {
		assert.Assert(t, checker.fields[c.name], "no log call uses field.%s", c.name)
	}
	for _, c := range eventNames(t) {
		assert.Assert(t, checker.events[c.name], "no log call uses event.%s", c.name)
	}
}

// parseLine returns the fields of a logfmt line.
func parseLine(t *testing.T, line string) map[string]string {
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

// The sample logs of the incident sessions have only events and fields that a router can log.
func TestIncidentLogsUseDeclaredNames(t *testing.T) {
	files, err := filepath.Glob("testdata/session/incident*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	fields, events := values(fieldNames(t)), values(eventNames(t))
	const truncatedEvent = "requestFail"
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		for line := range strings.Lines(string(text)) {
			_, line, found := strings.Cut(line, "ts=")
			if !found {
				continue
			}
			pairs := parseLine(t, "ts="+line)
			for key := range pairs {
				assert.Assert(t, slices.Contains(fields, key), "%s: %s in %s", file, key, line)
			}
			assert.Assert(t, pairs["event"] == truncatedEvent || slices.Contains(events, pairs["event"]), "%s: %s", file, line)
		}
	}
}

// Each way that a connection can end is explained in words.
func TestEveryCloseReasonIsExplained(t *testing.T) {
	for _, reason := range clientconn.CloseReasons() {
		l := &loganalysis.Log{}
		assert.NilError(t, l.Read(strings.NewReader("ts=2031-04-02T08:00:00Z vm=a event=requestRefused request=r ended="+string(reason))))
		words := l.Explain("r")[0].Explanation
		assert.Assert(t, len(words) > 1 && !strings.Contains(words[0], "ended: "), "%s: %v", reason, words)
	}
}

// Checks the checker itself: it reports each kind of misuse and accepts correct calls.
func TestCheckerFindsUndeclaredNames(t *testing.T) {
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
	checker := &logCallChecker{fset: token.NewFileSet(), fields: map[string]bool{}, events: map[string]bool{}}
	f, err := parser.ParseFile(checker.fset, "x.go", source, parser.SkipObjectResolution)
	assert.NilError(t, err)
	ast.Inspect(f, checker.visit)
	lines := map[string]bool{}
	for _, problem := range checker.problems {
		lines[strings.Split(problem, ":")[1]] = true
	}
	assert.Equal(t, len(lines), 8, "%v", checker.problems)
	assert.Assert(t, !lines["12"] && !lines["13"], "%v", checker.problems)
}

package settings

import "savoryfall/core/tomldoc"

// Traces says where spans go; at most one of the two is set.
type Traces struct {
	otlp string
	file string
}

func readTraces(t *tomldoc.Table) (s Traces) {
	s.otlp = t.Text("otlp", "")
	s.file = t.Text("file", "")
	if s.otlp != "" && s.file != "" {
		t.Fault("file", s.file, "one of traces.otlp and traces.file")
	}
	return s
}

// OTLP is the URL that spans are posted to.
func (s Traces) OTLP() string { return s.otlp }

// File is the file that spans are appended to.
func (s Traces) File() string { return s.file }

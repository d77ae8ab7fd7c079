package settings

import "savoryfall/core/tomldoc"

// Traces holds the section traces: the destination of trace spans. At most one of the two is set.
type Traces struct {
	otlp string
	file string
}

func readTraces(t *tomldoc.Table) (s Traces) {
	s.otlp = t.String("otlp", "")
	s.file = t.String("file", "")
	if s.otlp != "" && s.file != "" {
		t.AddError("file", s.file, "one of traces.otlp and traces.file")
	}
	return s
}

// OTLP returns the URL that spans are sent to.
func (s Traces) OTLP() string { return s.otlp }

// File returns the file that spans are appended to.
func (s Traces) File() string { return s.file }

package annotate

import "github.com/rotisserie/eris"

// Error wraps *err with the formatted text, and leaves nil alone; call it deferred, with a named result.
func Error(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}

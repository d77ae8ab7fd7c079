package annotate

import "github.com/rotisserie/eris"

// Error wraps *err, if it is not nil, with the formatted text. Call it deferred, with a named result.
func Error(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}

// Package drain keeps which failure domains an operator has drained: their endpoints get no new work until that is over.
package drain

// Package drain tracks which failure domains an operator has drained: their endpoints get no new work until the drain
// ends.
package drain

// Package answertimes keeps how long answers have lately taken, to tell whether another one will fit into a limited time.
package answertimes

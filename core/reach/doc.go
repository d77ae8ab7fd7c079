// Package reach estimates which services this router can reach by itself, from the outcomes of its own connection
// attempts.
package reach

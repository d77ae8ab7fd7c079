// Package reach estimates which services this router can reach by itself, from the outcomes of its own connection
// attempts, and decides how it connects to their endpoints.
package reach

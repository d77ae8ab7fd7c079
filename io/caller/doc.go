// Package caller serves callers: the OpenAI HTTP protocol and plain services by path.
package caller

// Package caller serves the clients' HTTP requests: the OpenAI chat completions protocol, and plain services (any
// other HTTP service), which are selected by path.
package caller

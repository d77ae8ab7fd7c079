// Package outputlength learns how many events the answers to each kind of request have, and what a client's hint tells of that.
package outputlength

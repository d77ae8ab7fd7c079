// Package identity says what identifies a client's request and a client's attempt, between routers and over several attempts.
package identity

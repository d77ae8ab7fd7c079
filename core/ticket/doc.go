// Package ticket encodes and authenticates tickets. A ticket tells on which endpoint the prefix of a chat is cached. It
// is returned to the caller, who sends it back with the next request of the chat.
package ticket

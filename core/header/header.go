package header

// Name is the name of an HTTP header. docs/PLATFORM.md describes who sets and who reads each header.
type Name = string

// Headers exchanged between callers, routers and endpoints.
const (
	Request        Name = "Savoryfall-Request"
	Attempt        Name = "Savoryfall-Attempt"
	Chat           Name = "Savoryfall-Chat"
	Ticket         Name = "Savoryfall-Ticket"
	Outcome        Name = "Savoryfall-Outcome"
	Priority       Name = "Savoryfall-Priority"
	DeadlineMs     Name = "Savoryfall-Deadline-Ms"
	Load           Name = "Savoryfall-Load"
	PromptTokens   Name = "Savoryfall-Prompt-Tokens"
	CachedTokens   Name = "Savoryfall-Cached-Tokens"
	KeyCreated     Name = "Savoryfall-Key-Created"
	VM             Name = "Savoryfall-Vm"
	IdempotencyKey Name = "Idempotency-Key"
)

package header

// Name is the name of an HTTP header; docs/PLATFORM.md says who writes and who reads each.
type Name = string

// The headers between caller, router and endpoint.
const (
	Request      Name = "Savoryfall-Request"
	Attempt      Name = "Savoryfall-Attempt"
	Chat         Name = "Savoryfall-Chat"
	Ticket       Name = "Savoryfall-Ticket"
	Outcome      Name = "Savoryfall-Outcome"
	Priority     Name = "Savoryfall-Priority"
	DeadlineMs   Name = "Savoryfall-Deadline-Ms"
	Load         Name = "Savoryfall-Load"
	PromptTokens Name = "Savoryfall-Prompt-Tokens"
	CachedTokens Name = "Savoryfall-Cached-Tokens"
	KeyCreated   Name = "Savoryfall-Key-Created"
	VM           Name = "Savoryfall-Vm"
	Idempotency  Name = "Idempotency-Key"
)

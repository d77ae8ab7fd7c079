package caller

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"savoryfall/core/chat"
	"savoryfall/core/decision"
	"savoryfall/core/header"
	"savoryfall/core/ledger"
	"savoryfall/core/outcome"
	"savoryfall/io/endpoint"
)

func (f *Front) completions(w http.ResponseWriter, r *http.Request) {
	x := f.begin(w, r)
	defer x.end()
	c, p := x.readChat()
	if p != nil {
		x.fail(p)
		return
	}
	pool := ledger.PoolOfModel(c.Model())
	leave, p := x.enter(pool)
	if p != nil {
		x.fail(p)
		return
	}
	defer leave()
	newAnswer(x, c, pool).run()
}

func (x *exchange) readChat() (c *chat.Chat, p *problem) {
	if p = x.authenticate(); p != nil {
		return nil, p
	}
	body, p := x.readBody()
	if p != nil {
		return nil, p
	}
	c, err := chat.Parse(body)
	var field chat.FieldError
	if errors.As(err, &field) {
		return nil, malformed(field.Field, field.Error())
	}
	if err != nil {
		return nil, malformed("body", err.Error())
	}
	if !x.config.HasModel(c.Model()) {
		return nil, unknownModel(c.Model())
	}
	return c, nil
}

// warmByTicket is where the caller's ticket says that the chat is warm; a ticket of another incarnation is void,
// because the restart has emptied the cache.
func (x *exchange) warmByTicket() string {
	sealed := x.r.Header.Get(header.Ticket)
	if cookie, err := x.r.Cookie(ticketCookie); err == nil && sealed == "" {
		sealed = cookie.Value
	}
	name, incarnation, ok := x.front.Tickets.Open(sealed)
	if !ok || x.front.Health.Incarnation(name) != incarnation {
		return ""
	}
	return name
}

const ticketCookie = "savoryfallTicket"

func (x *exchange) giveTicket(endpointName string) {
	sealed := x.front.Tickets.Seal(endpointName, x.front.Health.Incarnation(endpointName))
	if sealed == "" {
		return
	}
	x.w.Header().Set(header.Ticket, sealed)
	http.SetCookie(x.w, &http.Cookie{Name: ticketCookie, Value: sealed, HttpOnly: true, SameSite: http.SameSiteLaxMode})
}

// place chooses an endpoint and notes why.
func (x *exchange) place(q ledger.Query) (a *decision.Attempt, choice ledger.Choice, ok bool) {
	_, span := x.front.Tracer.Start(x.ctx, "place")
	defer span.End()
	choice = x.front.Ledger.Choose(x.front.Policy, q)
	span.SetAttributes(attribute.String("endpoint", choice.Endpoint), attribute.String("reason", string(choice.Reason)))
	x.decision.Attempts = append(x.decision.Attempts, decision.Attempt{
		ID: uuid.NewString(), Endpoint: choice.Endpoint, Reason: string(choice.Reason), Requests: choice.Requests,
		Tokens: choice.Tokens, MeanTokens: choice.MeanTokens, Usable: choice.Usable, Members: choice.Members,
	})
	return &x.decision.Attempts[len(x.decision.Attempts)-1], choice, choice.Endpoint != ""
}

// close notes how an attempt ended.
func closeAttempt(a *decision.Attempt, began time.Time, p *problem) {
	a.Ms = time.Since(began).Milliseconds()
	a.Outcome = outcome.Ran
	if p != nil {
		a.Outcome, a.Problem, a.Unreached = p.outcome, p.message, p.unreached
	}
}

// problemOf says what the failure of an attempt means for the caller.
func (x *exchange) problemOf(err error) *problem {
	told := outcome.Unknown
	var f *endpoint.Failure
	if errors.As(err, &f) {
		told = f.Outcome
	}
	// Before the context, which net/http ends with any error of a read, also with that of a deadline.
	if x.body.tooLate() {
		return slowBody(told)
	}
	if x.ctx.Err() != nil {
		return x.interrupted(told)
	}
	if f == nil || f.Outcome != outcome.NotRun {
		return failed(err.Error(), told)
	}
	p := unavailable(err.Error(), told)
	p.unreached = f.Status == 0
	return p
}

// maxTries bounds all tries for one request, those that reached nobody as well.
const maxTries = 10

// mayRetry bounds the attempts that reached an endpoint, and has them paid from the budget. Those that got no
// connection have cost nobody anything, and when half of the endpoints die at once a request meets several in a row;
// they are bounded by maxTries alone.
func (x *exchange) mayRetry(pool string, excluded int, p *problem) bool {
	tries, reached := len(x.decision.Attempts), 0
	for _, at := range x.decision.Attempts {
		if !at.Unreached {
			reached++
		}
	}
	limits := x.front.Limits
	if tries >= maxTries || reached >= limits.Attempts() || excluded < tries || x.ctx.Err() != nil {
		return false
	}
	return p.unreached || x.front.Retries.Allow(pool)
}

func (x *exchange) countPrompt(resp *http.Response) {
	prompt, err := strconv.Atoi(resp.Header.Get(header.PromptTokens))
	if err != nil {
		return
	}
	cached, _ := strconv.Atoi(resp.Header.Get(header.CachedTokens))
	x.front.figures.promptTokens.Add(prompt)
	x.front.figures.cachedTokens.Add(cached)
}

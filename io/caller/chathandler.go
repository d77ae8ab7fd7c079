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

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	x := s.newExchange(w, r)
	defer x.end()
	c, p := x.readChat()
	if p != nil {
		x.fail(p)
		return
	}
	pool := ledger.PoolOfModel(c.Model())
	release, p := x.admit(pool)
	if p != nil {
		x.fail(p)
		return
	}
	defer release()
	newCompletion(x, c, pool).run()
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

// endpointFromTicket returns the endpoint that has the chat in its cache according to the client's ticket. A ticket of
// another incarnation of the endpoint is ignored, because a restart empties the cache.
func (x *exchange) endpointFromTicket() string {
	sealed := x.r.Header.Get(header.Ticket)
	if cookie, err := x.r.Cookie(ticketCookie); err == nil && sealed == "" {
		sealed = cookie.Value
	}
	name, incarnation, ok := x.server.Tickets.Verify(sealed)
	if !ok || x.server.Health.Incarnation(name) != incarnation {
		return ""
	}
	return name
}

const ticketCookie = "savoryfallTicket"

func (x *exchange) setTicket(endpointName string) {
	sealed := x.server.Tickets.Sign(endpointName, x.server.Health.Incarnation(endpointName))
	if sealed == "" {
		return
	}
	x.w.Header().Set(header.Ticket, sealed)
	http.SetCookie(x.w, &http.Cookie{Name: ticketCookie, Value: sealed, HttpOnly: true, SameSite: http.SameSiteLaxMode})
}

// place selects an endpoint and records the reasons.
func (x *exchange) place(q ledger.Query) (a *decision.Attempt, choice ledger.Choice, ok bool) {
	_, span := x.server.Tracer.Start(x.ctx, "place")
	defer span.End()
	choice = x.server.Ledger.Choose(x.server.Policy, q)
	span.SetAttributes(attribute.String("endpoint", choice.Endpoint), attribute.String("reason", string(choice.Reason)))
	x.decision.Attempts = append(x.decision.Attempts, decision.Attempt{
		ID: uuid.NewString(), Endpoint: choice.Endpoint, Reason: string(choice.Reason), Requests: choice.Requests,
		Tokens: choice.Tokens, MeanTokens: choice.MeanTokens, Usable: choice.Usable, Members: choice.Members,
	})
	return &x.decision.Attempts[len(x.decision.Attempts)-1], choice, choice.Endpoint != ""
}

// recordAttempt records how an attempt ended.
func recordAttempt(a *decision.Attempt, start time.Time, p *problem) {
	a.Ms = time.Since(start).Milliseconds()
	a.Outcome = outcome.Ran
	if p != nil {
		a.Outcome, a.Problem, a.NotConnected = p.outcome, p.message, p.unreached
	}
}

// problemOf converts the error of an attempt into the problem that is reported to the client.
func (x *exchange) problemOf(err error) *problem {
	result := outcome.Unknown
	var f *endpoint.AttemptError
	if errors.As(err, &f) {
		result = f.Outcome
	}
	// Checked before the context: net/http cancels it after any read error, including a passed deadline.
	if x.body.hasTimedOut() {
		return bodyTimeout(result)
	}
	if x.ctx.Err() != nil {
		return x.contextProblem(result)
	}
	if f == nil || f.Outcome != outcome.NotRun {
		return endpointFailed(err.Error(), result)
	}
	p := unavailable(err.Error(), result)
	p.unreached = f.Status == 0
	return p
}

// maxTries limits the attempts for one request, including those that reached no endpoint.
const maxTries = 10

// mayRetry limits the attempts that reached an endpoint, and charges each retry to the budget. Attempts that got no
// connection cost the endpoints nothing, and a request meets several in a row when half of the endpoints fail at once;
// they are limited by maxTries only.
func (x *exchange) mayRetry(pool string, excluded int, p *problem) bool {
	tries, reached := len(x.decision.Attempts), 0
	for _, at := range x.decision.Attempts {
		if !at.NotConnected {
			reached++
		}
	}
	limits := x.server.Limits
	if tries >= maxTries || reached >= limits.Attempts() || excluded < tries || x.ctx.Err() != nil {
		return false
	}
	return x.mayRetryAfterCrashes() && (p.unreached || x.server.Retries.Allow(pool))
}

func (x *exchange) countPrompt(resp *http.Response) {
	prompt, err := strconv.Atoi(resp.Header.Get(header.PromptTokens))
	if err != nil {
		return
	}
	cached, _ := strconv.Atoi(resp.Header.Get(header.CachedTokens))
	x.server.requestMetrics.promptTokens.Add(prompt)
	x.server.requestMetrics.cachedTokens.Add(cached)
}

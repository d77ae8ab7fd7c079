package caller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryfall/core/outcome"
)

// AttemptsMetric counts attempts at endpoints.
const AttemptsMetric = "savoryfall_attempts_total"

// figures are the metrics of requests.
type figures struct {
	set          *metrics.Set
	promptTokens *metrics.Counter
	cachedTokens *metrics.Counter
	attempts     *metrics.Counter
	retries      *metrics.Counter
	resumed      *metrics.Counter
	crossed      *metrics.Counter
	firstToken   *metrics.Histogram
}

func newFigures(set *metrics.Set) figures {
	return figures{
		set:          set,
		promptTokens: set.GetOrCreateCounter("savoryfall_prompt_tokens_total"),
		cachedTokens: set.GetOrCreateCounter("savoryfall_cached_prompt_tokens_total"),
		attempts:     set.GetOrCreateCounter(AttemptsMetric),
		retries:      set.GetOrCreateCounter("savoryfall_retries_total"),
		resumed:      set.GetOrCreateCounter("savoryfall_resumed_streams_total"),
		crossed:      set.GetOrCreateCounter("savoryfall_crossed_answers_total"),
		firstToken:   set.GetOrCreateHistogram("savoryfall_first_token_seconds"),
	}
}

func (m figures) request(status int, told outcome.Outcome, took time.Duration) {
	name := fmt.Sprintf(`savoryfall_requests_total{status="%d",outcome=%q}`, status, string(told))
	m.set.GetOrCreateCounter(name).Inc()
	m.set.GetOrCreateHistogram("savoryfall_request_seconds").Update(took.Seconds())
}

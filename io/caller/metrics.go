package caller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"savoryfall/core/outcome"
)

// AttemptsMetric is the name of the counter of attempts at endpoints.
const AttemptsMetric = "savoryfall_attempts_total"

// requestMetrics are the metrics of client requests.
type requestMetrics struct {
	set          *metrics.Set
	promptTokens *metrics.Counter
	cachedTokens *metrics.Counter
	attempts     *metrics.Counter
	retries      *metrics.Counter
	resumed      *metrics.Counter
	mismatched   *metrics.Counter
	firstToken   *metrics.Histogram
}

func newRequestMetrics(set *metrics.Set) requestMetrics {
	return requestMetrics{
		set:          set,
		promptTokens: set.GetOrCreateCounter("savoryfall_prompt_tokens_total"),
		cachedTokens: set.GetOrCreateCounter("savoryfall_cached_prompt_tokens_total"),
		attempts:     set.GetOrCreateCounter(AttemptsMetric),
		retries:      set.GetOrCreateCounter("savoryfall_retries_total"),
		resumed:      set.GetOrCreateCounter("savoryfall_resumed_streams_total"),
		mismatched:   set.GetOrCreateCounter("savoryfall_crossed_answers_total"),
		firstToken:   set.GetOrCreateHistogram("savoryfall_first_token_seconds"),
	}
}

func (m requestMetrics) observe(status int, result outcome.Outcome, elapsed time.Duration) {
	name := fmt.Sprintf(`savoryfall_requests_total{status="%d",outcome=%q}`, status, string(result))
	m.set.GetOrCreateCounter(name).Inc()
	m.set.GetOrCreateHistogram("savoryfall_request_seconds").Update(elapsed.Seconds())
}

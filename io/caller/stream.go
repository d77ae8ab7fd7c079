package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"savoryfall/core/decision"
	"savoryfall/core/ledger"
	"savoryfall/core/outcome"
	"savoryfall/io/endpoint"
)

// clientGoneError is returned when writing to the client fails.
type clientGoneError struct{ error }

type chunk struct {
	ID          string `json:"id"`
	Fingerprint string `json:"system_fingerprint"`
	Choices     []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// OtherWeightsError is returned for a stream that was to go on at an engine which runs other weights than the one that began it.
type OtherWeightsError struct{ Want, Got string }

func (e OtherWeightsError) Error() string {
	return fmt.Sprintf("the stream began with weights %q, and this engine runs %q", e.Want, e.Got)
}

// readStream passes events on as they arrive. The response is complete only if the stream ends with the end marker.
func (a *completion) readStream(resp *http.Response, at *decision.Attempt, flight *ledger.InFlight, silence *time.Timer) (err error) {
	controller := http.NewResponseController(a.x.w)
	streamID := ""
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		silence.Reset(a.x.server.Limits.BetweenTokens())
		if ev.Data == doneMarker {
			return a.finish(controller)
		}
		data, err := a.checkEvent(ev.Data, &streamID)
		if err != nil {
			return err
		}
		a.writeHeaders(at, "text/event-stream")
		a.started = true
		_, err = fmt.Fprintf(a.x.w, "data: %s\n\n", data)
		if err != nil {
			return clientGoneError{err}
		}
		_ = controller.Flush()
		a.updateExpectedTokens(flight)
	}
	return InvalidResponseError{Reason: "the stream ended without its end mark"}
}

// checkEvent validates one event. In a resumed stream, it replaces the engine's response ID by the one that the client
// has received.
func (a *completion) checkEvent(data string, streamID *string) (out string, err error) {
	var c chunk
	err = json.Unmarshal([]byte(data), &c)
	if err != nil {
		return "", InvalidResponseError{Reason: "an event is not JSON"}
	}
	if len(c.Error) > 0 {
		return "", InvalidResponseError{Reason: "the engine sent an error event"}
	}
	if *streamID == "" {
		*streamID = c.ID
	}
	if c.ID != *streamID {
		return "", endpoint.MismatchError{Want: *streamID, Got: c.ID}
	}
	if a.content.Len() == 0 {
		a.fingerprint = c.Fingerprint
	}
	if c.Fingerprint != a.fingerprint {
		// Its text would go on from that of another version, and no client could tell.
		return "", OtherWeightsError{Want: a.fingerprint, Got: c.Fingerprint}
	}
	if a.responseID == "" {
		a.responseID = c.ID
	}
	for _, choice := range c.Choices {
		a.content.WriteString(choice.Delta.Content)
	}
	if c.ID == a.responseID {
		return data, nil
	}
	return strings.Replace(data, `"`+c.ID+`"`, `"`+a.responseID+`"`, 1), nil
}

// updateExpectedTokens updates the load that the rest of the response is expected to put on the endpoint.
func (a *completion) updateExpectedTokens(flight *ledger.InFlight) {
	generatedTokens := a.content.Len() / bytesPerToken
	if generatedTokens/estimateInterval != a.generatedTokens/estimateInterval {
		flight.SetExpectedTokens(a.x.server.Tokens.Remaining(a.class, generatedTokens))
	}
	a.generatedTokens = generatedTokens
}

func (a *completion) finish(controller *http.ResponseController) (err error) {
	_, err = fmt.Fprintf(a.x.w, "data: %s\n\n", doneMarker)
	_ = controller.Flush()
	a.x.recordResult(http.StatusOK, outcome.Ran, "")
	a.x.server.Tokens.Observe(a.class, a.generatedTokens)
	return err
}

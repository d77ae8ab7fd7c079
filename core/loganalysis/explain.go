package loganalysis

import (
	"fmt"

	"savoryfall/core/event"
	"savoryfall/core/field"
)

// endingTexts describe who ended a client's connection, by the value of the field ended.
var endingTexts = map[string]string{
	"client":       "The client closed the connection.",
	"reset":        "The client, or the network on its behalf, reset the connection.",
	"silence":      "The client did not respond to keep-alive probes on the connection.",
	"stall":        "The client did not take its answer in time.",
	"idle":         "This router ended the connection as idle",
	"header":       "This router ended the connection because a request header did not arrive in time",
	"stop":         "This router ended the connection because it was shutting down.",
	"headTooLarge": "This router closed the connection because the request header was larger than the configuration allows.",
	"noPlace":      "This router closed the connection because requests were in service on all others.",
	"memory":       "This router closed the connection because its memory did not allow the request header.",
	"evicted":      "This router closed the connection because others needed its place.",
}

// limitFields are the fields of the line configurationInForce with the limit that made the router end a connection.
var limitFields = map[string]field.Name{"idle": field.IdleMs, "header": field.HeaderMs}

// explainEnding explains how the connection of the request ended; before are the lines with the router's view at that
// time.
func explainEnding(line Line, before []Line) (list []string) {
	ended := line.Fields[field.Ended]
	if ended == "" {
		return nil
	}
	text, known := endingTexts[ended]
	if !known {
		text = "The connection ended: " + ended + "."
	}
	if limit, hasLimit := limitFields[ended]; hasLimit {
		text += limitText(limit, before) + "."
	}
	list = []string{text, fmt.Sprintf(
		"Answers on it before: %s. Idle before this request: %s ms. From its first byte to its handler: %s ms.",
		line.Fields[field.Served], line.Fields[field.IdleMs], line.Fields[field.ReadMs],
	)}
	return append(list, explainSends(line, ended)...)
}

// explainUnreachable tells whether a request could not be connected to an endpoint because this router had no way to any.
func explainUnreachable(line Line) (list []string) {
	switch since := line.Fields[field.UnreachableMs]; since {
	case "":
		return nil
	case "0":
		return []string{"This router could connect to other endpoints of the service at that time."}
	default:
		return []string{fmt.Sprintf(
			"This router had had no way of its own to any endpoint of the service for %s ms; the last bytes from one came %s ms before.",
			since, line.Fields[field.LastBytesMs],
		)}
	}
}

// explainStart tells how the previous process on the VM ended, if it did not log that it stopped. Line i is the start
// of the next one.
func (l *Log) explainStart(i int) (list []string) {
	started := l.lines[i]
	for j := i - 1; j >= 0; j-- {
		line := l.lines[j]
		if line.VM != started.VM {
			continue
		}
		if line.Event == event.Stopped {
			return nil
		}
		if gap := started.Time.Sub(line.Time); gap > startupWindow {
			return []string{fmt.Sprintf(
				"The process before it wrote its last line %.1f s earlier, and none that it stopped: it was killed, or its VM was lost.",
				gap.Seconds(),
			)}
		}
	}
	return nil
}

// limitText returns the limit that was in force.
func limitText(limit field.Name, before []Line) string {
	for i := len(before) - 1; i >= 0; i-- {
		if line := before[i]; line.Event == event.ConfigurationInForce && line.Fields[limit] != "" {
			return fmt.Sprintf(" (the limit of version %s is %s ms)", line.Fields[field.Version], line.Fields[limit])
		}
	}
	return ""
}

// explainSends tells whether an endpoint had received the request.
func explainSends(line Line, ended string) (list []string) {
	sends := line.Fields[field.Sends]
	switch {
	case sends == "" || sends == "0":
		return []string{"No endpoint had got the request."}
	case ended == "idle" || ended == "header":
		list = append(list, "An endpoint had got the request: the router ended a connection under it, which is a fault of the router.")
	}
	if line.Fields[field.Outcome] == "unknown" {
		list = append(list, "It may have run at "+line.Fields[field.Endpoints]+".")
	}
	return list
}

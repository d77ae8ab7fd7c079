package logstory

import (
	"fmt"

	"savoryfall/core/event"
	"savoryfall/core/field"
)

// endings say who ended a client's connection, by the field ended.
var endings = map[string]string{
	"client":  "The client closed the connection.",
	"reset":   "The client, or the network on its behalf, reset the connection.",
	"silence": "Keep-alive probes found nobody at the client's end of the connection.",
	"stall":   "The client did not take its answer in time.",
	"idle":    "This router ended the connection as idle",
	"header":  "This router ended the connection since a request's header was late",
	"stop":    "This router ended the connection since it stopped.",
}

// limits are the fields of the configuration in force that made the router end a connection.
var limits = map[string]field.Name{"idle": field.IdleMs, "header": field.HeaderMs}

// words tell what the line says of the connection, by what the router believed before it.
func words(line Line, before []Line) (list []string) {
	ended := line.Fields[field.Ended]
	if ended == "" {
		return nil
	}
	by, known := endings[ended]
	if !known {
		by = "The connection ended: " + ended + "."
	}
	if limit, ours := limits[ended]; ours {
		by += limitOf(limit, before) + "."
	}
	list = []string{by, fmt.Sprintf(
		"Answers on it before: %s. Idle before this request: %s ms. From its first byte to its handler: %s ms.",
		line.Fields[field.Served], line.Fields[field.IdleMs], line.Fields[field.ReadMs],
	)}
	return append(list, wordsOnSends(line, ended)...)
}

// wordsOnStart tell how the process before the one that line i has started ended, when it did so without a word.
func (l *Log) wordsOnStart(i int) (list []string) {
	started := l.lines[i]
	for j := i - 1; j >= 0; j-- {
		line := l.lines[j]
		if line.VM != started.VM {
			continue
		}
		if line.Event == event.Stopped {
			return nil
		}
		if silent := started.At.Sub(line.At); silent > startWithin {
			return []string{fmt.Sprintf(
				"The process before it wrote its last line %.1f s earlier, and none that it stopped: it was killed, or its VM was lost.",
				silent.Seconds(),
			)}
		}
	}
	return nil
}

// limitOf names the limit in force.
func limitOf(limit field.Name, before []Line) string {
	for i := len(before) - 1; i >= 0; i-- {
		if line := before[i]; line.Event == event.ConfigurationInForce && line.Fields[limit] != "" {
			return fmt.Sprintf(" (the limit of version %s is %s ms)", line.Fields[field.Version], line.Fields[limit])
		}
	}
	return ""
}

// wordsOnSends tell what became of the request at its endpoint.
func wordsOnSends(line Line, ended string) (list []string) {
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

// Package tokens estimates online how many tokens a response still has to generate when the request doesn't say.
package tokens

// Package logwriter writes log lines without ever blocking the caller.
package logwriter

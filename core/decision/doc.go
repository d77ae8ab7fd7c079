// Package decision records the newest routing decisions and the reasons for them, for the explain command.
package decision

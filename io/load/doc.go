// Package load drives a fleet by a plan and reports cache reuse, skew and control traffic.
package load

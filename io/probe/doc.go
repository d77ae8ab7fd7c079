// Package probe keeps the health of the endpoints up to date, from real answers first and from
// probes where there are none.
package probe

// Package fleet runs routers, simulated engines and services, and a simulated platform in one process, on loopback.
package fleet

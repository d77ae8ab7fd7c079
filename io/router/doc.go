// Package router builds and runs the services of one router process.
package router

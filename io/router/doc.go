// Package router puts the services of one router process together.
package router

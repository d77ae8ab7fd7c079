// Package origintable keeps the origins of recent streams.
package origintable

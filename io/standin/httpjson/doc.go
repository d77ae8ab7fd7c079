// Package httpjson reads and writes the JSON bodies of the stand-in services.
package httpjson

// Package logstory reads the logs of routers, and tells from them what became of one request, and why requests of a
// day were not served.
package logstory

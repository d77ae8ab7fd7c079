// Package resetconn tells a connection that its peer has ended from one that was reset while another goroutine was writing to it.
package resetconn

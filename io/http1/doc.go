// Package http1 makes single attempts at endpoints over kept HTTP/1.1 connections, and never repeats one by itself.
package http1

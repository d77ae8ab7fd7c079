// Package tokens learns online how many tokens an unmarked request still has to make.
package tokens

// Package spills remembers for a while which chats are warm elsewhere than where they rank first.
package spills

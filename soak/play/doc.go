// Play plays a day of a deployment with router processes in real time, and judges what clients and endpoints see.
package main

// Command cyclamenpoint-agent runs beside an endpoint and decides what reaches it.
package main

func main() {}

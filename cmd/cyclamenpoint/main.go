// Command cyclamenpoint runs an entry node and the operators' commands.
package main

func main() {}

// Command jacinthpost is the product binary: the entry and agent processes and the operator commands.
package main

func main() {}

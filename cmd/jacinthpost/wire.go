//go:build wireinject

package main

import (
	"github.com/google/wire"

	"jacinthpost/io/node"
	"jacinthpost/io/node/agentnode"
	"jacinthpost/io/node/entrynode"
	"jacinthpost/io/settings"
)

func newEntryProcess(set settings.Settings) (entryProcess, error) {
	panic(wire.Build(common, entrynode.New, wire.Bind(new(node.Role), new(*entrynode.Entry)), wire.Struct(new(entryProcess), "*")))
}

func newAgentProcess(set settings.Settings) (agentProcess, error) {
	panic(wire.Build(common, agentnode.New, wire.Bind(new(node.Role), new(*agentnode.Agent)), wire.Struct(new(agentProcess), "*")))
}

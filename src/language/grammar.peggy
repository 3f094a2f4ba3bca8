{{
  // One grammar for queries, commands and declaration files.
}}

Program = _ @(@Statement _ ";"? _)*

Statement
  = verb:("create" / "change") __ target:Target attributes:(__ @Attribute)*
    { return {verb, target, attributes, location: location().start}; }
  / verb:("remove" / "drain" / "restore") __ target:Target
    { return {verb, target, attributes: [], location: location().start}; }
  / verb:"show" __ subject:Subject id:(__ !Filter @Name)? filters:(__ @Filter)*
    { return {verb, subject, id: id ?? undefined, filters, location: location().start}; }

Target
  = type:("service") __ name:Name { return {type, name}; }
  / type:("upstream" / "rule") __ name:Name __ "of" __ service:Name
    { return {type, name, service}; }

Subject
  = "services" / "upstreams" / "rules" / "requests" / "hosts" / "changes" / "change"

Filter
  = "of" __ value:Name { return {name: "of", value}; }
  / "in" __ value:Name { return {name: "in", value}; }
  / "where" __ value:("draining" / "active" / "ejected") { return {name: "where", value}; }

Attribute
  = name:AttributeName __ value:Value
    { return {name, value, location: location().start}; }

AttributeName "an attribute" = !Keyword @$([a-z]+ ("-" [a-z]+)*)
Keyword = ("create" / "change" / "remove" / "drain" / "restore" / "show") ![a-z-]

Value
  = Quoted
  / amount:$([0-9]+ ("." [0-9]+)?) unit:$("ms" / "s" / "m" / "%") ![A-Za-z0-9]
    { return {amount: Number(amount), unit}; }
  / amount:$([0-9]+) ![A-Za-z0-9.:_-] { return {amount: Number(amount), unit: ""}; }
  / Word

Quoted "a quoted text" = '"' @$[^"\n]* '"'
Name "a name" = $([A-Za-z0-9] [A-Za-z0-9._-]*)
Word "a value" = $([A-Za-z0-9*/] [A-Za-z0-9._:/*-]*)

__ "a space" = ([ \t\n\r] / Comment)+
_ = ([ \t\n\r] / Comment)*
Comment "a comment" = "#" [^\n]*

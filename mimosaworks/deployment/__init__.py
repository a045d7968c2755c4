"""Configuration of a deployment: routes, services, models, workspaces."""

from mimosaworks.deployment.call import CallFacts, PromptPart
from mimosaworks.deployment.deployment import Deployment, RequestLimits
from mimosaworks.deployment.engine import EngineModel, EngineTerms
from mimosaworks.deployment.route import Repeat, ServiceRoute, ServiceShare
from mimosaworks.deployment.service import ServiceTerms
from mimosaworks.deployment.target import Residence, TargetEntry, TargetState
from mimosaworks.deployment.workspace import Grant, WorkspaceTerms

__all__ = [
    'CallFacts',
    'Deployment',
    'EngineModel',
    'EngineTerms',
    'Grant',
    'PromptPart',
    'Repeat',
    'RequestLimits',
    'Residence',
    'ServiceRoute',
    'ServiceShare',
    'ServiceTerms',
    'TargetEntry',
    'TargetState',
    'WorkspaceTerms',
]
